package org.marigoldmill.core.supply;

/**
 * Number of engines that the platform is told to run in a pool.
 *
 * @param pool pool of the service
 * @param desired absolute number, so that a repeated order changes nothing
 * @param base number of engines that were there before the first order; never given back
 * @param most highest number that was ordered; such an order may still be carried out
 */
public record EngineOrder(EnginePool pool, int desired, int base, int most) {}
