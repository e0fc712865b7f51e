import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in for the platform's API of singleton duties; it does not check fencing tokens. */
final class DutyApi {
  /** A call as received, with its time on the monotonic clock in milliseconds. */
  record Call(long atMs, String path, String holder, long fence, String body) {}

  final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Record record;
  private final ServerSocket server;

  DutyApi(Record record) throws IOException {
    this.record = record;
    this.server = Http.serve("duty-api", this::handle);
  }

  String address() {
    return Http.addressOf(server);
  }

  private void handle(Http.Message request, Http.Connection connection) throws IOException {
    Call call =
        new Call(
            System.nanoTime() / 1_000_000,
            request.path(),
            request.header("X-Duty-Holder"),
            Long.parseLong(request.header("X-Fence-Token")),
            request.text());
    calls.add(call);
    record.line(
        "duty call %s holder=%s fence=%d %s",
        call.path(), call.holder(), call.fence(), call.body());
    connection.respond(200, "", new byte[0]);
  }
}
