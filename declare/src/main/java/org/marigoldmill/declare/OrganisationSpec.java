package org.marigoldmill.declare;

import org.marigoldmill.core.key.KeyDirectory;
import org.marigoldmill.schema.declaration.Key;
import org.marigoldmill.schema.declaration.Organisation;

/** An organisation under construction. */
public final class OrganisationSpec {
  private final Organisation.Builder message = Organisation.newBuilder();

  OrganisationSpec(String name) {
    message.setName(name);
  }

  /** Grants a key by its SHA-256, in hexadecimal. */
  public OrganisationSpec key(String id, String sha256) {
    message.addKeys(Key.newBuilder().setId(id).setSha256(sha256));
    return this;
  }

  /** Grants a key given in clear; only its hash enters the declaration. */
  public OrganisationSpec keyInClear(String id, String key) {
    return key(id, KeyDirectory.hash(key));
  }

  /** Sets the share of contended upstreams, relative to other organisations. */
  public OrganisationSpec weight(double weight) {
    message.setWeight(weight);
    return this;
  }

  Organisation toMessage() {
    return message.build();
  }
}
