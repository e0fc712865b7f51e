package org.marigoldmill.server.batch;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.marigoldmill.http.HttpCall.Header;
import org.marigoldmill.http.HttpSyntax;
import org.marigoldmill.schema.submission.RewardCall;
import org.marigoldmill.schema.submission.RolloutItem;

/**
 * Checks whether an item and its reward call can be sent.
 *
 * <p>Unlike those of a call, their paths, headers and ids have not been through an HTTP parser.
 */
public final class ItemSyntax {
  private static final String METHOD = "POST";

  private ItemSyntax() {}

  /** Returns what is wrong with an item, or empty if it can be sent. */
  public static Optional<String> violation(RolloutItem item) {
    List<Header> headers =
        item.getHeadersList().stream().map(h -> new Header(h.getName(), h.getValue())).toList();
    return Stream.of(
            violationOfId("id", item.getId()),
            HttpSyntax.violation(METHOD, item.getPath(), headers),
            item.hasReward() ? violation(item.getReward()) : Optional.<String>empty())
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<String> violation(RewardCall reward) {
    return violationOfId("scorer id", reward.getId())
        .or(
            () ->
                HttpSyntax.violation(
                    METHOD, reward.getPath(), List.of(new Header("Host", reward.getHost()))));
  }

  private static Optional<String> violationOfId(String part, String id) {
    return HttpSyntax.isIdentifier(id)
        ? Optional.empty()
        : Optional.of(HttpSyntax.shouldBe(part, "an id", id));
  }
}
