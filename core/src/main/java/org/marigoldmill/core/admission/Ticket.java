package org.marigoldmill.core.admission;

/**
 * A request that asks for a place at an upstream.
 *
 * @param id unique in this process
 * @param pool pool of upstreams that it needs
 * @param priority class, 0 is served first
 * @param organisation who asks
 * @param weight share of the organisation
 * @param estimatedCost estimated cost
 * @param deadlineMs time in milliseconds at which an answer is of no more use
 */
public record Ticket(
    long id,
    String pool,
    int priority,
    String organisation,
    double weight,
    double estimatedCost,
    long deadlineMs) {}
