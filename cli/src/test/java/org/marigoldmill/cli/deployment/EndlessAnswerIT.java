package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Engines whose answers never end, behind an instance with the heap of a deployed one. */
class EndlessAnswerIT {
  private static final int CALLS = 12;
  private static final int CHUNK_BYTES = 64 * 1024;
  private static final String OK = "HTTP/1.1 200 OK\r\n";

  private enum Answer {
    HEAD("/app/x", OK + "X-Endless: "),
    HEADERS("/app/x", OK),
    BODY("/app/x", OK + "X-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"),
    BODY_UNTIL_CLOSED("/app/x", OK + "X-Server-Seal: s\r\nConnection: close\r\n\r\n"),
    EVENT(
        "/gen/x",
        OK
            + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
            + "Connection: close\r\n\r\nid: 1\ndata: ");

    private final String path;
    private final String start;

    Answer(String path, String start) {
      this.path = path;
      this.start = start;
    }

    private byte[] repeated() {
      byte[] bytes = new byte[CHUNK_BYTES];
      Arrays.fill(bytes, (byte) 'x');
      return switch (this) {
        case HEADERS -> "X-More: and more\r\n".repeat(CHUNK_BYTES / 18).getBytes(UTF_8);
        case BODY ->
            (Integer.toHexString(CHUNK_BYTES) + "\r\n" + new String(bytes, UTF_8) + "\r\n")
                .getBytes(UTF_8);
        default -> bytes;
      };
    }
  }

  private final AtomicInteger closedByReceiver = new AtomicInteger();
  private DeploymentCluster cluster;
  private ServerSocket endless;
  private volatile Answer answer;

  @BeforeEach
  void start() throws IOException {
    cluster = new DeploymentCluster();
    endless = new ServerSocket(0, CALLS, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    endless.close();
    cluster.close();
  }

  private static void startThread(Runnable action) {
    Thread thread = new Thread(action, "endless");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (!endless.isClosed()) {
        Socket socket = endless.accept();
        startThread(() -> answerEndlessly(socket));
      }
    } catch (IOException e) {
      if (!endless.isClosed()) {
        throw new UncheckedIOException(e);
      }
    }
  }

  private void answerEndlessly(Socket connection) {
    try (Socket socket = connection) {
      InputStream in = socket.getInputStream();
      assertThat(in.read(new byte[CHUNK_BYTES])).isPositive();
      OutputStream out = socket.getOutputStream();
      out.write(answer.start.getBytes(UTF_8));
      for (byte[] bytes = answer.repeated(); ; ) {
        out.write(bytes);
      }
    } catch (IOException e) {
      closedByReceiver.incrementAndGet();
    }
  }

  @ParameterizedTest
  @EnumSource
  void should_be_left_without_harm_to_other_requests(Answer kind) {
    // GIVEN
    answer = kind;
    String service = kind == Answer.EVENT ? "llm" : "app";
    String other = kind == Answer.EVENT ? "e-1" : "p-1";
    EngineStandin template = kind == Answer.EVENT ? cluster.engine : cluster.plain;
    ObjectNode entry = template.entry(service);
    entry.put("address", "127.0.0.1:" + endless.getLocalPort());
    cluster.store.put("servers", "endless", entry);
    cluster.store.put("servers", other, null);
    cluster.instances.forEach(
        i ->
            DeploymentCluster.await(
                () -> i.process().output().contains("engine gone id=" + other)));
    // WHEN
    for (int i = 0; i < CALLS; i++) {
      int call = i;
      startThread(() -> cluster.sendWith(0, kind.path, "endless-" + call));
    }
    DeploymentCluster.await(() -> closedByReceiver.get() >= CALLS);
    // THEN
    cluster.store.put("servers", other, template.entry(service));
    cluster.store.put("servers", "endless", null);
    DeploymentCluster.await(() -> cluster.sendWith(0, kind.path, "sound").status() == 200);
    assertThat(cluster.instances.get(0).process().output()).doesNotContain("OutOfMemoryError");
  }
}
