package org.marigoldmill.core.submission;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.marigoldmill.schema.submission.RolloutItem;
import org.marigoldmill.schema.submission.Submission;

/**
 * Digest of what an engine generates a text from, by which an item is recognised in a later step.
 *
 * <p>The id alone does not tell that two items are the same: trainers choose ids themselves.
 */
public final class ItemDigest {
  private static final int DIGEST_BYTES = 16;

  private ItemDigest() {}

  /** Returns the digest of an item, in hexadecimal. */
  public static String of(Submission submission, RolloutItem item) {
    byte[] content =
        RolloutItem.newBuilder()
            .setId(item.getId())
            .addAllHeaders(item.getHeadersList())
            .setBody(item.getBody())
            .build()
            .toByteArray();
    byte[] origin =
        Submission.newBuilder()
            .setOrganisation(submission.getOrganisation())
            .setHost(submission.getHost())
            .setModel(submission.getModel())
            .build()
            .toByteArray();
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, origin.length));
      digest.update(origin);
      return HexFormat.of().formatHex(Arrays.copyOf(digest.digest(content), DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
