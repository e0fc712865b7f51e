package org.marigoldmill.core.admission;

/**
 * Request for admission to a pool of upstreams.
 *
 * @param id identifier, unique in this process
 * @param pool name of the pool
 * @param priority priority class; 0 is served first
 * @param organisation organisation on whose behalf the request runs
 * @param weight relative share of the organisation
 * @param estimatedCost cost that the fair share is charged until the actual cost is known
 * @param deadlineMs time at which the caller no longer needs an answer, in milliseconds
 */
public record Ticket(
    long id,
    String pool,
    int priority,
    String organisation,
    double weight,
    double estimatedCost,
    long deadlineMs) {}
