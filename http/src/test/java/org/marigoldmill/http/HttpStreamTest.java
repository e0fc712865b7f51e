package org.marigoldmill.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpStreamTest {
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String CHUNK = "5\r\nhello\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final CountDownLatch release = new CountDownLatch(1);
  private ServerSocket server;
  private HttpClient client;

  @BeforeEach
  void open() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    client = HttpClient.create("test", 1);
  }

  @AfterEach
  void close() throws IOException {
    release.countDown();
    client.close();
    server.close();
  }

  @Nested
  class Read {
    @Test
    void should_end_when_the_last_chunk_has_arrived() {
      answer(CHUNKED_HEAD + CHUNK + LAST_CHUNK, false);
      try (HttpStream stream = client.open(call())) {
        byte[] into = new byte[100];
        assertThat(stream.read(into)).isEqualTo(5);
        assertThat(stream.read(into)).isEqualTo(-1);
      }
    }

    @Test
    void should_fail_when_the_receiver_closes_between_two_chunks() {
      answer(CHUNKED_HEAD + CHUNK, false);
      expectCutAfterTheFirstChunk();
    }

    @Test
    void should_fail_when_the_receiver_closes_before_the_whole_length() {
      answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false);
      expectCutAfterTheFirstChunk();
    }

    @Test
    void should_end_when_an_answer_without_a_length_ends_with_its_connection() {
      answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false);
      try (HttpStream stream = client.open(call())) {
        byte[] into = new byte[100];
        assertThat(stream.read(into)).isEqualTo(5);
        assertThat(stream.read(into)).isEqualTo(-1);
      }
    }
  }

  @Nested
  class Cancel {
    @Test
    void should_fail_the_read_in_progress_and_never_look_whole() {
      expectReadInProgressToFail(HttpStream::cancel);
    }

    @Test
    void should_fail_the_read_in_progress_when_the_client_closes() {
      expectReadInProgressToFail(stream -> client.close());
    }

    @Test
    void should_never_look_whole_when_it_comes_while_chunks_arrive() {
      Random random = new Random(5);
      for (int i = 0; i < 60; i++) {
        answerWithoutEnd();
        try (HttpStream stream = client.open(call().onFreshConnection())) {
          CompletableFuture<Void> read =
              CompletableFuture.runAsync(
                  () -> {
                    byte[] into = new byte[100];
                    while (stream.read(into) >= 0) {
                      // Reads on until the stream ends or fails.
                    }
                  });
          pause(random.nextInt(12));
          stream.cancel();
          assertThatThrownBy(read::join).hasCauseInstanceOf(HttpCallException.class);
        }
      }
    }

    private void expectReadInProgressToFail(Consumer<HttpStream> cut) {
      // GIVEN
      answer(CHUNKED_HEAD + CHUNK, true);
      try (HttpStream stream = client.open(call())) {
        byte[] into = new byte[100];
        assertThat(stream.read(into)).isEqualTo(5);
        CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> stream.read(into));
        assertThat(read).as("nothing has arrived").isNotDone();
        pause(200);
        // WHEN
        cut.accept(stream);
        // THEN
        assertThatThrownBy(read::join).hasCauseInstanceOf(HttpCallException.class);
      }
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answerWithoutEnd() {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                readLine(socket);
                socket.getOutputStream().write(CHUNKED_HEAD.getBytes(US_ASCII));
                while (true) {
                  socket.getOutputStream().write(CHUNK.getBytes(US_ASCII));
                  socket.getOutputStream().flush();
                  pause(3);
                }
              } catch (IOException e) {
                // The reader has cut the connection.
              }
            },
            "receiver");
    thread.setDaemon(true);
    thread.start();
  }

  private void expectCutAfterTheFirstChunk() {
    try (HttpStream stream = client.open(call())) {
      byte[] into = new byte[100];
      assertThat(stream.read(into)).isEqualTo(5);
      assertThatThrownBy(() -> stream.read(into)).isInstanceOf(HttpCallException.class);
    }
  }

  /** The first line of the head is enough here. */
  private static void readLine(Socket socket) throws IOException {
    int read = socket.getInputStream().read();
    while (read >= 0 && read != '\n') {
      read = socket.getInputStream().read();
    }
  }

  private HttpCall call() {
    return HttpCall.get("127.0.0.1:" + server.getLocalPort(), "/");
  }

  private void answer(String bytes, boolean hold) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                readLine(socket);
                socket.getOutputStream().write(bytes.getBytes(US_ASCII));
                socket.getOutputStream().flush();
                if (hold) {
                  release.await();
                }
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              }
            },
            "receiver");
    thread.setDaemon(true);
    thread.start();
  }
}
