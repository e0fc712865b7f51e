package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpResponse;

/** Starts the graceful shutdown of an entry instance. */
final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "stop an entry instance gracefully";
  }

  @Override
  public String example() {
    return "drain --at 127.0.0.1:8081";
  }

  @Override
  public void declare(OptionParser parser) {
    OperatorCall.declare(parser);
  }

  @Override
  public int run(OptionSet options) {
    HttpResponse answer = OperatorCall.post(options, "/drain", new byte[0]);
    System.out.println(answer.successful() ? "drains" : answer.text());
    return answer.successful() ? ExitCode.DONE : ExitCode.FAILED;
  }
}
