package org.marigoldmill.core.continuation;

import java.util.List;
import java.util.Optional;
import org.marigoldmill.core.placement.Engine;

/**
 * Decides which engines may continue the text of an item.
 *
 * <p>Answers the load of a service whose engines run several versions of their software, while some
 * crash, leave or are too slow in the middle of texts. Texts of two versions do not fit together,
 * so a text is continued by its own version while an engine of that version can run it, and is
 * restarted only after that.
 */
public final class Continuation {
  /** Longer than an engine that has fallen silent stays listed, in milliseconds. */
  static final long MAX_WAIT_MS = 4_000;

  /**
   * A choice.
   *
   * @param engines engines that may run the item now; empty to wait
   * @param restart whether an engine of another version may start the text over
   */
  public record Choice(List<Engine> engines, boolean restart) {}

  private Continuation() {}

  /**
   * Chooses among the engines of a service.
   *
   * @param begunWith software version that wrote the text so far; empty if there is none
   * @param ready engines allocated to the model that can run the item now
   * @param allocated all engines allocated to the model
   * @param others engines allocated to other models that can run the item now
   * @param waitedMs time since the item could be run, in milliseconds
   */
  public static Choice choose(
      Optional<String> begunWith,
      List<Engine> ready,
      List<Engine> allocated,
      List<Engine> others,
      long waitedMs) {
    if (begunWith.isEmpty()) {
      return new Choice(ready, false);
    }
    String version = begunWith.get();
    if (waitedMs <= MAX_WAIT_MS) {
      List<Engine> same = ofVersion(ready, version);
      List<Engine> sameElsewhere = same.isEmpty() ? ofVersion(others, version) : same;
      boolean comesBack = !ofVersion(allocated, version).isEmpty();
      if (!sameElsewhere.isEmpty() || comesBack) {
        return new Choice(sameElsewhere, false);
      }
    }
    return new Choice(ready, true);
  }

  private static List<Engine> ofVersion(List<Engine> engines, String version) {
    return engines.stream().filter(e -> e.softwareVersion().equals(version)).toList();
  }
}
