package org.marigoldmill.cli.deployment;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.marigoldmill.cli.deployment.DeploymentCluster.MAPPER;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.util.Base64;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marigoldmill.http.HttpResponse;

/** Invalid input is refused or ignored, without a hang, an upstream call or a process exit. */
@Execution(ExecutionMode.SAME_THREAD)
class BadInputIT {
  /** Ends a test that hangs; the longest expected wait is the header timeout of 1 s. */
  private static final int READ_TIMEOUT_MS = 20_000;

  private static final String KEY = "Api-Key: key\r\n";

  /** The processes that all tests of this class share. */
  private static DeploymentCluster cluster;

  @BeforeAll
  static void start() {
    cluster = new DeploymentCluster();
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @Nested
  class Heads {
    @Test
    void should_refuse_when_the_head_is_too_large() throws IOException {
      String large = "X-Large: " + "x".repeat(2 * DeploymentCluster.HEADER_BYTES) + "\r\n";
      assertRefused(
          "GET /app/x HTTP/1.1\r\nHost: h\r\n" + KEY + "X-Attempt-Id: big\r\n" + large + "\r\n");
    }

    @Test
    void should_end_the_connection_when_the_head_does_not_arrive() throws IOException {
      String answer =
          sendRaw("GET /app/x HTTP/1.1\r\nHost: h\r\n" + KEY + "X-Attempt-Id: slow\r\n");
      assertThat(answer).matches("(?s)|HTTP/1.1 4.*");
      assertThat(countRuns("slow")).isZero();
      assertServing();
    }

    /** The first two are read as a header of their own, or refused, by different HTTP parsers. */
    @ParameterizedTest
    @ValueSource(
        strings = {
          "X-Note: a\rX-Tenant: other\r\n",
          "X-Note: a\nX-Tenant: other\r\n",
          "X-Note: a\r\n X-Tenant: other\r\n",
          "X-Tenant : other\r\n",
          "X-Tenant\u0000: other\r\n",
        })
    void should_run_nothing_for_another_organisation_when_a_header_is_odd(String header)
        throws IOException {
      String id = "odd-" + header.hashCode();
      sendRaw(
          "GET /app/x HTTP/1.1\r\nHost: h\r\n"
              + KEY
              + header
              + ("X-Attempt-Id: " + id + "\r\nConnection: close\r\n\r\n"));
      assertThat(cluster.plain.organisation(id)).isIn("", "t");
      assertServing();
    }

    @Test
    void should_refuse_when_there_is_no_id() throws IOException {
      assertRefused("GET /app/x HTTP/1.1\r\nHost: h\r\n" + KEY + "Connection: close\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
        strings = {"GET\r\n\r\n", "\u0000\u0001\u0002\r\n\r\n", "GET /app/x HTTP/9.9\r\n\r\n"})
    void should_refuse_when_it_is_not_http(String bytes) throws IOException {
      assertThat(sendRaw(bytes)).doesNotStartWith("HTTP/1.1 2");
      assertServing();
    }
  }

  @Nested
  class Lengths {
    @ParameterizedTest
    @ValueSource(
        strings = {
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 48\r\n",
          "Content-Length: 4\r\nContent-Length: 48\r\n",
          "Content-Length: -1\r\n",
          "Content-Length: 4x\r\n",
          "Content-Length: 99999999999999999999\r\n",
          "Transfer-Encoding: chunked, identity\r\n",
          "Transfer-Encoding: xchunked\r\n",
        })
    void should_run_nothing_when_the_length_is_not_clear(String lengths) throws IOException {
      String inner = "GET /app/x HTTP/1.1\r\nHost: h\r\n" + KEY + "X-Attempt-Id: smuggled\r\n\r\n";
      assertRefused(head("unclear") + lengths + "\r\n0\r\n\r\n" + inner);
      assertThat(countRuns("smuggled")).isZero();
      assertThat(countRuns("unclear")).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"zz\r\nabcd\r\n0\r\n\r\n", "-4\r\nabcd\r\n0\r\n\r\n"})
    void should_run_nothing_when_a_chunk_is_malformed(String body) throws IOException {
      assertThat(sendRaw(head("chunk") + "Transfer-Encoding: chunked\r\n\r\n" + body))
          .doesNotStartWith("HTTP/1.1 2");
      assertThat(countRuns("chunk")).isZero();
      assertServing();
    }

    @Test
    void should_refuse_when_the_body_is_too_large() throws IOException {
      int length = 2 * DeploymentCluster.BODY_BYTES;
      String answer = assertRefused(head("large") + "Content-Length: " + length + "\r\n\r\n");
      assertThat(answer).startsWith("HTTP/1.1 413");
      assertThat(countRuns("large")).isZero();
    }

    private String head(String id) {
      return "POST /app/x HTTP/1.1\r\nHost: h\r\n" + KEY + "X-Attempt-Id: " + id + "\r\n";
    }
  }

  @Nested
  class Submissions {
    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "7", "null", "{\"items\":7}", "{\"items\":[7]}"})
    void should_refuse_when_it_is_no_submission(String body) {
      assertSubmissionRefused(body);
    }

    @Test
    void should_refuse_when_a_field_has_another_type_or_is_missing() {
      for (Consumer<ObjectNode> corrupt : corruptions()) {
        ObjectNode submission = DeploymentCluster.submission("bad");
        corrupt.accept(submission);
        assertSubmissionRefused(submission.toString());
      }
      assertThat(countRuns("bad-0")).isZero();
    }

    @Test
    void should_refuse_a_results_request_when_its_offset_is_invalid() {
      assertThat(cluster.request(0, "GET", "/-/lots/s?after=abc").status()).isBetween(400, 499);
      assertThat(cluster.request(0, "GET", "/-/lots/s?after=-4").status()).isBetween(400, 499);
    }

    private List<Consumer<ObjectNode>> corruptions() {
      return List.of(
          s -> s.remove("model"),
          s -> s.put("model", 7),
          s -> s.remove("items"),
          s -> s.put("min_version", "x"),
          s -> s.put("desired", -1),
          s -> item(s).remove("id"),
          s -> item(s).remove("path"),
          s -> item(s).put("body", "&&&"),
          s -> item(s).put("id", "bad-1"),
          s -> item(s).putObject("scorer").put("body", "%"));
    }

    /** Engines ran smuggled requests, and items of other organisations. */
    @Test
    void should_refuse_when_text_of_an_item_could_begin_another_request() {
      String request =
          String.join(
              "\r\n",
              "POST /gen/forged HTTP/1.1",
              "Host: h",
              "X-Attempt-Id: forged",
              "X-Tenant: other",
              "X-Expect-Instance: e-1",
              "Content-Length: 0",
              "",
              "");
      String smuggled = "a HTTP/1.1\r\n\r\n" + request;
      List<Consumer<ObjectNode>> corruptions =
          List.of(
              s -> item(s).put("path", "/gen/" + smuggled),
              s -> item(s).put("path", "/gen/a\u010Ab"),
              s -> item(s).put("path", "/-/order"),
              s -> item(s).put("id", smuggled),
              s -> ((ObjectNode) item(s).get("headers")).put("X-Note", smuggled),
              s -> ((ObjectNode) item(s).get("headers")).put(smuggled, "a"),
              s -> ((ObjectNode) item(s).get("scorer")).put("path", "/app/" + smuggled),
              s -> ((ObjectNode) item(s).get("scorer")).put("host", smuggled),
              s -> ((ObjectNode) item(s).get("scorer")).put("id", smuggled));
      for (Consumer<ObjectNode> corrupt : corruptions) {
        ObjectNode submission = DeploymentCluster.submission("bad");
        corrupt.accept(submission);
        assertSubmissionRefused(submission.toString());
      }
      assertThat(countRuns("forged")).isZero();
    }

    /** A body was read as a second request, since the item's own length went before ours. */
    @Test
    void should_run_only_the_items_when_their_headers_are_those_of_a_connection() {
      // GIVEN
      String body = "0\r\n\r\nGET /gen/x HTTP/1.1\r\nX-Attempt-Id: in-body\r\n\r\n";
      ObjectNode submission = DeploymentCluster.submission("framed");
      item(submission).put("body", Base64.getEncoder().encodeToString(body.getBytes(UTF_8)));
      ((ObjectNode) item(submission).get("headers"))
          .put("Transfer-Encoding", "chunked")
          .put("Content-Length", "3")
          .put("Connection", "X-Tenant, X-Attempt-Id")
          .put("X-Tenant", "other")
          .put("Api-Key", "other-key");
      // WHEN
      assertThat(cluster.post(0, "/batch/framed", "framed", submission).status()).isEqualTo(202);
      DeploymentCluster.await(
          () -> cluster.results(1, "framed", 0).get("next").asInt() == DeploymentCluster.ITEMS);
      // THEN
      assertThat(countRuns("in-body")).isZero();
      assertThat(cluster.engine.organisation("framed-0")).isEqualTo("t");
    }

    private ObjectNode item(ObjectNode submission) {
      return (ObjectNode) ((ArrayNode) submission.get("items")).get(0);
    }

    private void assertSubmissionRefused(String body) {
      HttpResponse answer =
          cluster.send(
              cluster.instances.get(0).callerAddress(),
              "POST",
              "/batch/bad",
              "bad-submission",
              "key",
              body.getBytes(UTF_8));
      assertThat(answer.status()).as(body).isEqualTo(400);
      assertThat(cluster.request(1, "GET", "/-/lots/bad-submission?after=0").status())
          .isEqualTo(404);
    }
  }

  @Nested
  class Entries {
    @Test
    void should_pass_over_engines_that_cannot_be_read() {
      ObjectNode noAddress = cluster.plain.entry("app");
      noAddress.remove("address");
      List<ObjectNode> entries =
          List.of(
              MAPPER.createObjectNode(),
              noAddress,
              cluster.plain.entry("app").put("state", "sleeping"),
              cluster.plain.entry("app").put("state", 7),
              cluster.plain.entry("app").put("address", 7),
              cluster.plain.entry("app").put("address", "nowhere"),
              cluster.plain.entry("app").put("born", "yesterday"),
              cluster.plain.entry("app").put("slots", "many"));
      // WHEN
      for (int i = 0; i < entries.size(); i++) {
        cluster.store.put("servers", "spoiled-" + i, entries.get(i));
      }
      cluster.store.put("servers", "spoiled-text", MAPPER.getNodeFactory().textNode("{"));
      // THEN
      for (int i = 0; i < entries.size(); i++) {
        String line = "engine entry ignored id=spoiled-" + i;
        DeploymentCluster.await(() -> output().contains(line));
      }
      DeploymentCluster.await(() -> output().contains("engine entry ignored id=spoiled-text"));
      assertServing();
    }
  }

  /** Entries of another writer, which look like those of engines in part. */
  @Nested
  class OddEntries {
    private static final int CALLS = 40;

    private List<String> values() {
      String entry = cluster.plain.entry("app").put("odd", "ODD").toString();
      String nested = "[".repeat(100_000) + "]".repeat(100_000);
      return List.of(
          nested,
          entry.replace("\"ODD\"", nested),
          entry.replace("\"ODD\"", "[".repeat(900) + "]".repeat(900)),
          entry.replace("\"zone\":\"a\"", "\"zone\":" + "[".repeat(900) + "]".repeat(900)),
          entry.replace("\"slots\":4", "\"slots\":1e300"),
          entry.replace("\"slots\":4", "\"slots\":" + "9".repeat(5_000)),
          entry.replace("\"slots\":4", "\"slots\":99999999999999999999999"),
          entry.replace("\"born\":1", "\"born\":1e300"),
          entry.replaceAll("(127.0.0.1):\\d+", "$1:65536"),
          entry.replaceAll("(127.0.0.1):\\d+", "$1:99999999999"),
          entry.replaceAll("127.0.0.1:\\d+", "127.0.0.999:80"));
    }

    private void assertAllServed(int instance, String path) {
      for (int i = 0; i < CALLS; i++) {
        assertThat(cluster.requestWithKey(instance, path + i, "key").status()).isEqualTo(200);
      }
    }

    /** Requests were answered 500 at random: a port out of range was chosen as an address. */
    @Test
    void should_cost_no_caller_an_answer_and_be_passed_over() {
      // WHEN
      List<String> values = values();
      for (int i = 0; i < values.size(); i++) {
        cluster.store.putText("servers", "odd-" + i, values.get(i));
      }
      cluster.store.put("servers", "odd\r\nX-Tenant: other", cluster.plain.entry("app"));
      EngineStandin later = new EngineStandin("p-later", "", 0, 0);
      cluster.store.put("servers", "p-later", later.entry("app"));
      DeploymentCluster.await(() -> output().contains("engine listed id=p-later"));
      // THEN
      assertAllServed(0, "/app/odd-");
      assertThat(later.startedRequests()).isNotEmpty();
      cluster.startInstances("three");
      assertAllServed(cluster.instances.size() - 1, "/app/restarted-");
      cluster.store.put("servers", "p-later", null);
      DeploymentCluster.await(() -> output().contains("engine gone id=p-later"));
      later.close();
      assertThat(output()).doesNotContain("periodic task failed");
    }
  }

  @Nested
  class Configurations {
    @Test
    void should_keep_the_configuration_in_force_when_the_next_cannot_be_read() {
      // GIVEN
      ObjectNode invalid = DeploymentCluster.config(5);
      invalid.put("routes", 7);
      // WHEN
      cluster.store.put("op", "config", invalid);
      DeploymentCluster.await(() -> output().contains("record skipped"));
      // THEN
      assertServing();
    }

    @Test
    void should_apply_a_configuration_when_it_has_fields_that_are_unknown() {
      // GIVEN
      ObjectNode next = DeploymentCluster.config(7);
      next.put("novelty", 7).putObject("limits_2").put("x", 1);
      ((ObjectNode) next.get("routes").get(0)).put("colour", "red");
      ((ArrayNode) next.get("tenants").get(0).get("api_keys")).add("new-key");
      // WHEN
      cluster.store.put("op", "config", next);
      // THEN
      DeploymentCluster.await(() -> cluster.call("/app/x", "new-key").status() == 200);
    }
  }

  private static String output() {
    return cluster.instances.get(0).process().output();
  }

  private static long countRuns(String id) {
    return cluster.plain.startedRequests().stream().filter(id::equals).count()
        + cluster.engine.startedRequests().stream().filter(id::equals).count();
  }

  /** Asserts that the instance still answers a valid call. */
  private static void assertServing() {
    assertThat(cluster.call("/app/x", "key").text()).isEqualTo("answer");
  }

  private static String assertRefused(String bytes) throws IOException {
    String answer = sendRaw(bytes);
    assertThat(answer).startsWith("HTTP/1.1 4");
    assertThat(answer.indexOf("HTTP/1.1", 1)).as("a second answer in %s", answer).isNegative();
    assertServing();
    return answer;
  }

  /** Sends bytes and returns everything received until the connection is closed. */
  private static String sendRaw(String bytes) throws IOException {
    URI caller = URI.create("http://" + cluster.instances.get(0).callerAddress());
    ByteArrayOutputStream answer = new ByteArrayOutputStream();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(caller.getHost(), caller.getPort()));
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
      InputStream in = socket.getInputStream();
      for (int b = in.read(); b >= 0; b = in.read()) {
        answer.write(b);
      }
    } catch (SocketException expected) {
      // The server resets the connection if it answers before it has read the whole request.
    }
    return answer.toString(ISO_8859_1);
  }
}
