package org.marigoldmill.server.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import java.util.Random;
import org.marigoldmill.core.routing.UpstreamTable;
import org.marigoldmill.core.weights.EngineVersions;
import org.marigoldmill.server.store.StoredRecord;

/** Registry of one engine. */
public final class RegisteredEngine {
  public static final String ID = "e";
  public static final long INCARNATION = 1;
  public static final String SERVICE = "s";
  public static final String SOFTWARE = "v1";

  private RegisteredEngine() {}

  /** Returns the registry, which updates the versions of weights. */
  public static EngineRegistry registry(EngineVersions versions) {
    EngineRegistry registry =
        new EngineRegistry(new TextCodec(), UpstreamTable.with(new Random(1)), versions);
    byte[] entry = (INCARNATION + " ready").getBytes(UTF_8);
    registry.apply(new StoredRecord(0, ID, Optional.of(entry)));
    registry.advanceTo(0);
    return registry;
  }
}
