package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpResponse;

/** Requests the graceful shutdown of an entry instance. */
final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "shut down an entry instance gracefully";
  }

  @Override
  public String example() {
    return "drain --at 127.0.0.1:8081";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    OperatorCall.declareAddress(parser);
  }

  @Override
  public int run(OptionSet options) {
    HttpResponse response = OperatorCall.post(options, "/drain", new byte[0]);
    System.out.println(response.successful() ? "drains" : response.text());
    return response.successful() ? ExitCode.DONE : ExitCode.FAILED;
  }
}
