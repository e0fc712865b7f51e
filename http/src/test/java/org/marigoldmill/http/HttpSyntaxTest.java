package org.marigoldmill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marigoldmill.http.HttpCall.Header;

class HttpSyntaxTest {
  private static final int NO_CONNECTION_MS = 100;

  @Nested
  class Paths {
    @ParameterizedTest
    @ValueSource(strings = {"/", "/a/b?c=d&e", "/%0d%0a", "/~!$'()*+,;=:@|"})
    void should_be_accepted_when_they_fit_a_request_line(String path) {
      assertThat(HttpSyntax.isPath(path)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
        strings = {
          "",
          "a",
          "*",
          "http://h/",
          "/a b",
          "/a\r\nX: y",
          "/a\n",
          "/a\t",
          "/a\u0000",
          "/a\u007F",
          "/\u010A",
          "/\u0120",
          "/\u00E9"
        })
    void should_be_refused_when_they_could_end_a_request_line(String path) {
      assertThat(HttpSyntax.isPath(path)).isFalse();
    }
  }

  @Nested
  class FieldValues {
    @ParameterizedTest
    @ValueSource(strings = {"", "a b\tc", "caf\u00E9", "text/plain; q=\"1\""})
    void should_be_accepted_when_they_are_one_line(String value) {
      assertThat(HttpSyntax.isFieldValue(value)).isTrue();
    }

    /** The lowest bytes of U+010A and U+560D are those of a line feed and a carriage return. */
    @ParameterizedTest
    @ValueSource(strings = {"a\r\nb", "a\rb", "a\nb", "a\u0000b", "a\u010Ab", "a\u560Db"})
    void should_be_refused_when_they_could_end_a_line(String value) {
      assertThat(HttpSyntax.isFieldValue(value)).isFalse();
    }
  }

  @Nested
  class Tokens {
    @ParameterizedTest
    @ValueSource(strings = {"", "X Y", "X:", " X", "X\r", "X\u010A", "X(", "X/Y", "X\t"})
    void should_be_refused_when_they_could_end_a_name(String name) {
      assertThat(HttpSyntax.isToken(name)).isFalse();
    }
  }

  @Nested
  class Violation {
    @Test
    void should_name_the_part_and_break_no_line() {
      assertThat(HttpSyntax.violation("POST", "/a", List.of(new Header("X-Note", "a\r\nb"))))
          .hasValue("header X-Note: expected a value of one line but was a??b");
      assertThat(HttpSyntax.violation("POST", "/a b", List.of()))
          .hasValue("path: expected a path but was /a b");
      assertThat(HttpSyntax.violation("POST", "/a", List.of(new Header("X-Note", "a")))).isEmpty();
    }
  }

  @Nested
  class Client {
    /** Text of an item ended its request and began another one on the same connection. */
    @Test
    void should_not_connect_when_the_head_of_a_call_breaks_the_syntax() throws IOException {
      try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
          HttpClient client = HttpClient.create("test", 1)) {
        server.setSoTimeout(NO_CONNECTION_MS);
        String address = "127.0.0.1:" + server.getLocalPort();
        HttpCall call = HttpCall.post(address, "/a HTTP/1.1\r\nX: y", new byte[0]);
        assertThatThrownBy(() -> client.exchange(call))
            .isInstanceOf(IllegalArgumentException.class)
            .hasMessageStartingWith("path: expected a path");
        assertThatThrownBy(server::accept).isInstanceOf(SocketTimeoutException.class);
      }
    }
  }
}
