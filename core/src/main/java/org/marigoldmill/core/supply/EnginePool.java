package org.marigoldmill.core.supply;

/**
 * The engines of a service in an availability zone that the platform counts together.
 *
 * @param zone availability zone
 * @param reclaimable whether the platform may reclaim them at short notice
 */
public record EnginePool(String zone, boolean reclaimable) {}
