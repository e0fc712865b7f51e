package org.marigoldmill.server.call;

import java.util.Optional;
import org.marigoldmill.core.error.ErrorKind;

/** Makes sure that a non-idempotent request with an idempotency key is taken on once. */
@FunctionalInterface
public interface RunClaims {
  /** Returns why a call must not run, or empty when it may. */
  Optional<ErrorKind> claim(CallContext call);
}
