package org.marigoldmill.cli;

import java.util.TreeMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.server.operator.OperatorServer;

/** Prints one kind of state of an entry instance. */
final class ShowCommand implements Command {
  @Override
  public String name() {
    return "show";
  }

  @Override
  public String summary() {
    return "print state of an entry instance: "
        + String.join(", ", new TreeMap<>(OperatorServer.kinds()).keySet());
  }

  @Override
  public String example() {
    return "show leases --at 127.0.0.1:8081 --format json";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("Kind of state to print");
    OperatorCall.declareAddress(parser);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String kind =
        Command.singleArgument(options, "one of " + new TreeMap<>(OperatorServer.kinds()).keySet());
    HttpResponse response = OperatorCall.get(options, "/show/" + kind);
    if (!response.successful()) {
      System.err.println(response.text());
      return ExitCode.FAILED;
    }
    System.out.println(
        OperatorCall.isJsonRequested(options)
            ? response.text()
            : StateText.indentJson(response.text()));
    return ExitCode.DONE;
  }
}
