package org.marigoldmill.core.key;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.declaration.Key;
import org.marigoldmill.schema.declaration.Organisation;

/** Maps the SHA-256 of an API key to its organisation; withdrawn keys are absent. */
public final class KeyDirectory {
  private final Map<String, String> organisationByHash;

  private KeyDirectory(Map<String, String> organisationByHash) {
    this.organisationByHash = organisationByHash;
  }

  /** Creates a directory of the keys of a declaration, except those whose hash is withdrawn. */
  public static KeyDirectory of(Declaration declaration, Set<String> withdrawn) {
    Map<String, String> index = new HashMap<>();
    for (Organisation organisation : declaration.getOrganisationsList()) {
      for (Key key : organisation.getKeysList()) {
        if (!withdrawn.contains(key.getSha256())) {
          index.put(key.getSha256(), organisation.getName());
        }
      }
    }
    return new KeyDirectory(Map.copyOf(index));
  }

  /** Returns the organisation of the key with a hash, or empty if the key is unknown. */
  public Optional<String> organisation(String sha256) {
    return Optional.ofNullable(organisationByHash.get(sha256));
  }

  /**
   * Returns the SHA-256 under which a key is declared, as hexadecimal digits.
   *
   * <p>Lookups compare only hashes, so that their timing reveals nothing about the key itself.
   */
  public static String hash(String key) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }
}
