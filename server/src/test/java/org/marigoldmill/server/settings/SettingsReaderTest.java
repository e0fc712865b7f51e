package org.marigoldmill.server.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.schema.settings.ServeSettings;

class SettingsReaderTest {
  private static final String VALID =
      """
      instance = "entry-a1"
      zone = "a"
      caller_address = "127.0.0.1:8080"
      operator_address = "127.0.0.1:8081"
      peer_address = "127.0.0.1:8082"
      [platform]
      log = "127.0.0.1:9001"
      instances = "127.0.0.1:9002"
      ordering = "127.0.0.1:9003"
      billing = "127.0.0.1:9004"
      """;

  private static ServeSettings parse(String toml) {
    return SettingsReader.parse("entry.toml", toml, ServeSettings.getDefaultInstance());
  }

  private static SettingsReader.WithTable<ServeSettings> parseWithTable(String toml) {
    return SettingsReader.parseWithTable(
        "entry.toml", toml, ServeSettings.getDefaultInstance(), "regions");
  }

  @Nested
  class Parse {
    @Test
    void should_fill_in_defaults_when_keys_are_absent() {
      // WHEN
      ServeSettings settings = parse(VALID);
      // THEN
      assertThat(settings.getZone()).isEqualTo("a");
      assertThat(settings.getLeaseTtlMs()).isEqualTo(6_000);
      assertThat(settings.getPlatform().getBilling()).isEqualTo("127.0.0.1:9004");
    }

    @Test
    void should_report_every_violation_when_there_are_several() {
      // GIVEN
      String toml =
          VALID
              .replace("zone = \"a\"", "zone = 7\nzome = \"a\"")
              .replace("127.0.0.1:8080", "localhost:8080")
              .replace("log = \"127.0.0.1:9001\"\n", "")
              .replace("instance =", "lease_ttl_ms = 5\ninstance =");
      // WHEN, THEN
      assertThatThrownBy(() -> parse(toml))
          .isInstanceOf(InvalidSettings.class)
          .hasMessageContaining(
              "entry.toml: lease_ttl_ms: expected a whole number from 200 to 600000 but found '5'")
          .hasMessageContaining("entry.toml: zone: expected a name")
          .hasMessageContaining("entry.toml: zome: expected one of instance, zone,")
          .hasMessageContaining(
              "entry.toml: caller_address: expected an IP address with a port, such as"
                  + " 127.0.0.1:8080 but found 'localhost:8080'")
          .hasMessageContaining("entry.toml: platform.log: expected an IP address")
          .satisfies(e -> assertThat(e.getMessage().lines()).hasSize(5));
    }

    @Test
    void should_read_a_table_of_texts_beside_the_settings() {
      String toml = "regions = { \"a-1\" = \"north\" }\n" + VALID;
      assertThat(parseWithTable(toml).table()).containsExactly(Map.entry("a-1", "north"));
      assertThat(parseWithTable(VALID).table()).isEmpty();
      assertThatThrownBy(() -> parseWithTable(toml.replace("\"north\"", "7")))
          .hasMessageContaining("entry.toml: regions.a-1: expected a text but found '7'");
      assertThatThrownBy(() -> parseWithTable("regions = 7\n" + VALID))
          .hasMessageContaining("entry.toml: regions: expected a table but found '7'");
    }

    @Test
    void should_report_the_line_when_the_text_is_not_toml() {
      // WHEN, THEN
      assertThatThrownBy(() -> parse("instance = \"a1\"\nzone ="))
          .hasMessageContaining("entry.toml: line 2: expected TOML but found");
    }
  }
}
