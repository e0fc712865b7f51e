package org.marigoldmill.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpServerTest {
  private static final long LONG_WAIT_MS = 10_000;

  private final CountDownLatch answer = new CountDownLatch(1);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private HttpServer server;
  private String address;
  private HttpClient client;

  @BeforeEach
  void open() {
    server =
        HttpServer.forAddress("127.0.0.1:0")
            .get("/fast", q -> HttpResponse.text(200, "fast"))
            .get("/held", q -> answerWhenReleased())
            .start();
    address = server.address();
    client = HttpClient.create("test", 1);
  }

  @AfterEach
  void close() {
    answer.countDown();
    client.close();
    server.abort();
  }

  @Nested
  class Close {
    /** Regression: closing the server cut the requests in progress. */
    @Test
    void should_complete_the_response_when_a_request_is_open() throws InterruptedException {
      // GIVEN
      CompletableFuture<HttpResponse> open = get("/held");
      arrived.await();
      // WHEN
      CompletableFuture<Void> closed =
          CompletableFuture.runAsync(() -> server.close(LONG_WAIT_MS, () -> {}));
      awaitRefusal();
      answer.countDown();
      // THEN
      assertThat(open.join().status()).isEqualTo(200);
      closed.join();
      assertThatThrownBy(() -> client.exchange(call("/fast").onFreshConnection()))
          .isInstanceOf(HttpCallException.class);
    }

    @Test
    void should_end_and_tell_when_a_request_stays_open() throws InterruptedException {
      // GIVEN
      CompletableFuture<HttpResponse> open = get("/held");
      arrived.await();
      CountDownLatch told = new CountDownLatch(1);
      // WHEN
      server.close(50, told::countDown);
      // THEN
      assertThat(told.getCount()).isZero();
      assertThatThrownBy(open::join).hasCauseInstanceOf(HttpCallException.class);
    }

    private void awaitRefusal() {
      while (client.exchange(call("/fast")).status() == 200) {
        Thread.onSpinWait();
      }
      assertThat(client.exchange(call("/fast")).status()).isEqualTo(503);
    }
  }

  @Nested
  class RefuseIfIdle {
    @Test
    void should_refuse_the_next_request_on_an_open_connection_when_none_is_in_progress() {
      // GIVEN
      assertThat(client.exchange(call("/fast")).status()).isEqualTo(200);
      // WHEN
      while (!server.refuseIfIdle()) {
        Thread.onSpinWait();
      }
      // THEN
      assertThat(client.exchange(call("/fast")).status()).isEqualTo(503);
    }

    @Test
    void should_keep_serving_when_a_request_is_in_progress() throws InterruptedException {
      // GIVEN
      CompletableFuture<HttpResponse> open = get("/held");
      arrived.await();
      // WHEN
      boolean refusing = server.refuseIfIdle();
      // THEN
      assertThat(refusing).isFalse();
      assertThat(client.exchange(call("/fast")).status()).isEqualTo(200);
      answer.countDown();
      assertThat(open.join().status()).isEqualTo(200);
    }
  }

  private HttpResponse answerWhenReleased() {
    arrived.countDown();
    try {
      answer.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return HttpResponse.text(200, "held");
  }

  private CompletableFuture<HttpResponse> get(String path) {
    return CompletableFuture.supplyAsync(() -> client.exchange(call(path)));
  }

  private HttpCall call(String path) {
    return HttpCall.get(address, path);
  }
}
