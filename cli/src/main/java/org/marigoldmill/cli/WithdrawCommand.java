package org.marigoldmill.cli;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.core.error.ErrorKind;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.operator.PublishReply;
import org.marigoldmill.schema.operator.WithdrawRequest;

/** Withdraws a key by its hash, on every reachable instance at once. */
final class WithdrawCommand implements Command {
  @Override
  public String name() {
    return "withdraw";
  }

  @Override
  public String summary() {
    return "withdraw a key by its SHA-256";
  }

  @Override
  public String example() {
    return "withdraw 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.nonOptions("SHA-256 of the key, in hexadecimal");
    OperatorCall.declare(parser);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    String hash = Command.argument(options, "the SHA-256 of a key");
    WithdrawRequest request = WithdrawRequest.newBuilder().addSha256(hash).build();
    HttpResponse answer = OperatorCall.post(options, "/withdrawal", ProtoJson.bytes(request));
    if (answer.status() == ErrorKind.BAD_REQUEST.status()) {
      throw new UsageException(answer.text());
    }
    PublishReply reply = answer.message(PublishReply.getDefaultInstance());
    OperatorCall.print(options, reply, WithdrawCommand::text);
    return reply.getOutcome() == PublishOutcome.IN_FORCE ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static String text(PublishReply reply) {
    return reply.getOutcome() == PublishOutcome.IN_FORCE
        ? "withdrawn"
        : "withdrawn on reachable instances; the log has not confirmed it yet";
  }
}
