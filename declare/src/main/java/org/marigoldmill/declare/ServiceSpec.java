package org.marigoldmill.declare;

import java.util.List;
import org.marigoldmill.schema.declaration.Service;
import org.marigoldmill.schema.declaration.ServiceKind;

/**
 * Builder of a service.
 *
 * <p>By default, calls need an API key and are not retried, since they may not be idempotent.
 */
public final class ServiceSpec {
  private final Service.Builder message = Service.newBuilder();

  ServiceSpec(String name) {
    message.setName(name);
  }

  /** Sets the pool whose upstreams serve the calls. */
  public ServiceSpec in(String pool) {
    message.setPool(pool);
    return this;
  }

  /** Marks the upstreams as model engines, whose tokens are counted. */
  public ServiceSpec model() {
    message.setKind(ServiceKind.MODEL);
    return this;
  }

  /** Marks calls as idempotent, so that they may be retried. */
  public ServiceSpec idempotent() {
    message.setIdempotent(true);
    return this;
  }

  /** Accepts calls without an API key. */
  public ServiceSpec open() {
    message.setOpen(true);
    return this;
  }

  /** Sets the priority class, from 0 (served first) to 3. */
  public ServiceSpec priority(int priority) {
    message.setPriority(priority);
    return this;
  }

  /**
   * Sets the timeouts of a call.
   *
   * @param totalMs maximum duration of the whole call, in milliseconds
   * @param progressMs maximum time between two parts of the response, in milliseconds
   */
  public ServiceSpec timeouts(long totalMs, long progressMs) {
    message.setTimeoutMs(totalMs).setProgressTimeoutMs(progressMs);
    return this;
  }

  /** Sets the maximum number of calls that wait for an upstream. */
  public ServiceSpec maxQueue(int calls) {
    message.setMaxQueue(calls);
    return this;
  }

  /**
   * Sets the age of the known key withdrawals, in milliseconds, above which calls with a key are
   * refused; 0 never refuses them.
   */
  public ServiceSpec staleKnowledgeMs(long ms) {
    message.setStaleKnowledgeMs(ms);
    return this;
  }

  /** Restricts the service to these organisations. */
  public ServiceSpec onlyFor(String... organisations) {
    message.addAllOrganisations(List.of(organisations));
    return this;
  }

  Service toMessage() {
    return message.build();
  }
}
