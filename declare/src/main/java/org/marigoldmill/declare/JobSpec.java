package org.marigoldmill.declare;

import org.marigoldmill.schema.declaration.Job;

/** Builder of a rollout job. */
public final class JobSpec {
  private final Job.Builder message = Job.newBuilder();

  JobSpec(String name) {
    message.setName(name);
  }

  /** Sets the organisation that owns the trainer. */
  public JobSpec organisation(String organisation) {
    message.setOrganisation(organisation);
    return this;
  }

  /** Sets the pool of engines and the model that they run. */
  public JobSpec engines(String pool, String model) {
    message.setEngines(pool).setModel(model);
    return this;
  }

  /** Sets the service that scores the samples. */
  public JobSpec scoring(String service) {
    message.setScoring(service);
    return this;
  }

  /** Sets the number of groups in a step and the number of samples in a group. */
  public JobSpec step(int groups, int groupSize) {
    message.setGroupsPerStep(groups).setGroupSize(groupSize);
    return this;
  }

  /** Sets how many weight versions a sample may lag behind its trainer. */
  public JobSpec stalenessBound(int versions) {
    message.setStalenessBound(versions);
    return this;
  }

  /** Sets the maximum length of a sample, in tokens. */
  public JobSpec maxTokens(int tokens) {
    message.setMaxTokens(tokens);
    return this;
  }

  /** Sets the address of the weight store. */
  public JobSpec weightStore(String address) {
    message.setWeightStore(address);
    return this;
  }

  Job toMessage() {
    return message.build();
  }
}
