package org.marigoldmill.server.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.marigoldmill.schema.peer.HeldBatch;
import org.marigoldmill.schema.upstream.DrawRequest;
import org.marigoldmill.schema.upstream.SampleGroup;

/** Replicas of finished groups, kept until the trainer has passed their step. */
final class GroupReplicas {
  private static final int MAX_RETAINED_STEPS = 2;

  private final Map<String, TreeMap<Long, TreeMap<Integer, SampleGroup>>> byJob = new HashMap<>();

  synchronized void add(HeldBatch batch) {
    TreeMap<Long, TreeMap<Integer, SampleGroup>> steps =
        byJob.computeIfAbsent(batch.getJob(), j -> new TreeMap<>());
    TreeMap<Integer, SampleGroup> step =
        steps.computeIfAbsent(batch.getStep(), s -> new TreeMap<>());
    batch.getGroupsList().forEach(g -> step.put(g.getGroup(), g));
    while (steps.size() > MAX_RETAINED_STEPS) {
      steps.pollFirstEntry();
    }
  }

  synchronized HeldBatch get(String job, long step) {
    Map<Integer, SampleGroup> groups =
        byJob.getOrDefault(job, new TreeMap<>()).getOrDefault(step, new TreeMap<>());
    return HeldBatch.newBuilder().setJob(job).setStep(step).addAllGroups(groups.values()).build();
  }

  synchronized void discardBefore(DrawRequest draw) {
    TreeMap<Long, TreeMap<Integer, SampleGroup>> steps = byJob.get(draw.getJob());
    if (steps != null) {
      steps.headMap(draw.getStep()).clear();
    }
  }
}
