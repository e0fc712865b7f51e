import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The instances of a deployment, started as the deploy file says. */
final class Deployment implements AutoCloseable {
  /** One entry instance and its addresses. */
  static final class Instance {
    final String name;
    final String zone;
    final String callers;
    final String ready;
    final String metrics;
    final String relay;
    final Path settings;
    final Path log;
    Process process;

    private Instance(String name, String zone, String[] ports, Path directory) {
      this.name = name;
      this.zone = zone;
      this.callers = ports[0];
      this.ready = ports[1];
      this.metrics = ports[2];
      this.relay = ports[3];
      this.settings = directory.resolve(name + ".toml");
      this.log = directory.resolve(name + ".log");
    }

    boolean isReady() {
      Http.Message answer = Http.call(ready, "GET", "/-/readyz", "Host: r\r\n", new byte[0], 1_000);
      return answer != null && answer.status() == 200;
    }

    /** Returns whether the log of the instance contains a text. */
    boolean logged(String text) throws IOException {
      return Files.readString(log, StandardCharsets.ISO_8859_1).contains(text);
    }

    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  private static final int MIN_PORT = 12_000;
  private static final int MAX_PORT = 30_000;

  private final Path root;
  private final Path directory;
  private final Record record;
  private final Map<String, String> values = new TreeMap<>();
  final List<Instance> instances = new ArrayList<>();

  Deployment(Path root, Path directory, Record record, String store, String dutyApi) {
    this.root = root;
    this.directory = directory;
    this.record = record;
    values.put("platform_store.address|json", "\"" + store + "\"");
    values.put("cloud.address", dutyApi);
    values.put("platform_store.parts", Integer.toString(Store.PARTITIONS));
    values.put("platform_store.record_bytes", "262144");
    values.put("platform_store.call_bytes", "2097152");
    values.put("bounds.usage_window_s", "5");
    values.put("bounds.usage_late_s", "10");
    values.put("bounds.lease_ms", "3000");
    values.put("bounds.grace_s", "8");
    values.put("bounds.status_s", "120");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  Instance start(String name, String zone) throws IOException {
    Instance instance = new Instance(name, zone, freeAddresses(4), directory);
    Map<String, String> own = new TreeMap<>(values);
    String[] ports = {instance.callers, instance.ready, instance.metrics, instance.relay};
    own.put("node_name|json", "\"" + name + "\"");
    own.put("zone|json", "\"" + zone + "\"");
    own.put("listen.front|json", "\"" + ports[0] + "\"");
    own.put("listen.ready|json", "\"" + ports[1] + "\"");
    own.put("ip", "127.0.0.1");
    own.put("port_range.0", ports[2].substring(ports[2].indexOf(':') + 1));
    own.put("port_range.1", ports[3].substring(ports[3].indexOf(':') + 1));
    String template = Files.readString(root.resolve("deploy/settings.toml.tmpl"));
    Matcher matcher = Pattern.compile("\\{\\{(.*?)\\}\\}").matcher(template);
    Files.writeString(
        instance.settings,
        matcher.replaceAll(
            m -> {
              String value = own.get(m.group(1));
              if (value == null) {
                throw new IllegalStateException("no value of " + m.group(1));
              }
              return Matcher.quoteReplacement(value);
            }));
    instances.add(instance);
    launch(instance);
    return instance;
  }

  /** Starts the process of an instance, for the first time or again. */
  void launch(Instance instance) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/system.toml has no line run");
    }
    ProcessBuilder builder = new ProcessBuilder(matcher.group(1).split(" "));
    builder.directory(root.toFile());
    String path = System.getenv("PATH");
    String home = System.getenv("HOME");
    String javaHome = System.getenv("JAVA_HOME");
    builder.environment().clear();
    builder.environment().put("PATH", path == null ? "/usr/bin:/bin" : path);
    builder.environment().put("HOME", home == null ? "/tmp" : home);
    if (javaHome != null) {
      builder.environment().put("JAVA_HOME", javaHome);
    }
    builder.environment().put("LANG", "C.UTF-8");
    builder.environment().put("MARIGOLDMILL_CONFIG", instance.settings.toString());
    builder
        .environment()
        .put(
            "MARIGOLDMILL_MORE_SETTINGS",
            "order_engines = true\nregion_by_zone = { \"z1\" = \"r\", \"z2\" = \"r\" }");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(instance.log.toFile()));
    builder.redirectInput(new File("/dev/null"));
    instance.process = builder.start();
    record.line("instance %s started pid=%d", instance.name, instance.process.pid());
  }

  /** Waits until every instance is ready; returns whether that happens in time. */
  boolean awaitReady(long timeoutMs) {
    long until = System.currentTimeMillis() + timeoutMs;
    while (System.currentTimeMillis() < until) {
      if (instances.stream().allMatch(Instance::isReady)) {
        record.line("instances ready");
        return true;
      }
      Http.pause(100);
    }
    record.line("instances not ready");
    return false;
  }

  /** Kills the processes that this deployment started. */
  @Override
  public void close() {
    instances.forEach(i -> i.process.destroyForcibly());
    instances.forEach(
        i -> {
          try {
            i.process.waitFor();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Returns free addresses outside the range from which clients' ports are taken. */
  private static String[] freeAddresses(int count) throws IOException {
    Set<String> addresses = new LinkedHashSet<>();
    while (addresses.size() < count) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        addresses.add(Http.addressOf(socket));
      } catch (BindException e) {
        // The port is in use.
      }
    }
    return addresses.toArray(String[]::new);
  }
}
