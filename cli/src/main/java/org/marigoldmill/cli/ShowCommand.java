package org.marigoldmill.cli;

import java.util.TreeMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.server.operator.OperatorServer;

/** Shows the state of an entry instance. */
final class ShowCommand implements Command {
  @Override
  public String name() {
    return "show";
  }

  @Override
  public String summary() {
    return "show state: " + String.join(", ", new TreeMap<>(OperatorServer.kinds()).keySet());
  }

  @Override
  public String example() {
    return "show leases --at 127.0.0.1:8081 --format json";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.nonOptions("Kind of state");
    OperatorCall.declare(parser);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String kind =
        Command.argument(options, "one of " + new TreeMap<>(OperatorServer.kinds()).keySet());
    HttpResponse answer = OperatorCall.get(options, "/show/" + kind);
    if (!answer.successful()) {
      System.err.println(answer.text());
      return ExitCode.FAILED;
    }
    System.out.println(
        OperatorCall.json(options) ? answer.text() : ShownText.indented(answer.text()));
    return ExitCode.DONE;
  }
}
