package org.marigoldmill.server.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.marigoldmill.http.HttpCall.Header;

class UpstreamRequestTest {
  @Nested
  class CopyResponseHead {
    /** An upstream's own header told callers that a request which it had run has not run. */
    @Test
    void should_drop_the_header_by_which_this_service_says_whether_a_request_has_run() {
      // GIVEN
      HttpServerExchange exchange = new HttpServerExchange(null);
      List<Header> headers =
          List.of(new Header("marigoldmill-run", "not-run"), new Header("X-Kept", "x"));
      // WHEN
      UpstreamRequest.copyResponseHead(exchange, 429, headers);
      // THEN
      assertThat(exchange.getStatusCode()).isEqualTo(429);
      assertThat(exchange.getResponseHeaders().getHeaderNames())
          .extracting(Object::toString)
          .containsExactly("X-Kept");
    }
  }
}
