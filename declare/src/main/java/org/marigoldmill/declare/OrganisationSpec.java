package org.marigoldmill.declare;

import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.schema.declaration.Key;
import org.marigoldmill.schema.declaration.Organisation;

/** Builder of an organisation. */
public final class OrganisationSpec {
  private final Organisation.Builder message = Organisation.newBuilder();

  OrganisationSpec(String name) {
    message.setName(name);
  }

  /** Adds an API key by its SHA-256 hash, in hexadecimal. */
  public OrganisationSpec key(String id, String sha256) {
    message.addKeys(Key.newBuilder().setId(id).setSha256(sha256));
    return this;
  }

  /** Adds an API key given in plain text; the declaration contains only its hash. */
  public OrganisationSpec keyInClear(String id, String key) {
    return key(id, KeyDirectory.hash(key));
  }

  /** Sets the share of contended upstreams, relative to the weights of other organisations. */
  public OrganisationSpec weight(double weight) {
    message.setWeight(weight);
    return this;
  }

  Organisation toMessage() {
    return message.build();
  }
}
