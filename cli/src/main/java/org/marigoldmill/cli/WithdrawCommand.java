package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.operator.WithdrawRequest;

/** Withdraws an API key by its hash on all reachable entry instances immediately. */
final class WithdrawCommand implements Command {
  @Override
  public String name() {
    return "withdraw";
  }

  @Override
  public String summary() {
    return "withdraw an API key by its SHA-256 hash";
  }

  @Override
  public String example() {
    return "withdraw 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("SHA-256 hash of the key, in hexadecimal");
    OperatorCall.declareAddress(parser);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String sha256 = Command.singleArgument(options, "the SHA-256 hash of a key");
    WithdrawRequest request = WithdrawRequest.newBuilder().addSha256(sha256).build();
    HttpResponse response = OperatorCall.post(options, "/withdrawal", ProtoJson.bytes(request));
    if (response.status() == ErrorKind.BAD_REQUEST.status()) {
      throw new UsageException(response.text());
    }
    PublishReply reply = response.message(PublishReply.getDefaultInstance());
    OperatorCall.print(options, reply, WithdrawCommand::formatText);
    return reply.getOutcome() == PublishOutcome.IN_FORCE ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static String formatText(PublishReply reply) {
    return reply.getOutcome() == PublishOutcome.IN_FORCE
        ? "withdrawn"
        : "withdrawn on reachable instances; the log has not confirmed it yet";
  }
}
