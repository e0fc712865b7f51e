package org.marigoldmill.cli;

import java.nio.file.Path;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.declaration.Declaration;
import org.marigoldmill.schema.operator.PublishOutcome;
import org.marigoldmill.schema.operator.PublishReply;

/** Publishes a declaration and waits until every entry instance has applied it. */
final class PublishCommand implements Command {
  private static final String DRY_RUN = "dry-run";

  @Override
  public String name() {
    return "publish";
  }

  @Override
  public String summary() {
    return "publish a declaration and wait until it is in force";
  }

  @Override
  public String example() {
    return "publish examples/tuul/declaration.json --at 127.0.0.1:8081";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.nonOptions("Declaration in JSON");
    parser.accepts(DRY_RUN, "Validate the declaration without publishing it");
    OperatorCall.declareAddress(parser);
    OperatorCall.declareFormat(parser);
  }

  @Override
  public int run(OptionSet options) {
    Path file = Path.of(Command.singleArgument(options, "a declaration file"));
    Declaration declaration = CheckCommand.readDeclaration(file);
    String path = "/declaration?dry_run=" + options.has(DRY_RUN);
    HttpResponse response = OperatorCall.post(options, path, ProtoJson.bytes(declaration));
    PublishReply reply = response.message(PublishReply.getDefaultInstance());
    OperatorCall.print(options, reply, PublishCommand::formatText);
    boolean succeeded =
        reply.getOutcome() == PublishOutcome.IN_FORCE || reply.getOutcome() == PublishOutcome.VALID;
    return succeeded ? ExitCode.DONE : ExitCode.FAILED;
  }

  static String formatText(PublishReply reply) {
    return switch (reply.getOutcome()) {
      case IN_FORCE -> "revision " + reply.getRevision() + " is in force everywhere";
      case ACCEPTED ->
          "revision "
              + reply.getRevision()
              + " is accepted; not yet confirmed by "
              + String.join(", ", reply.getNotYetInForceList());
      case CONFLICT ->
          "conflict: revision "
              + reply.getCurrentRevision()
              + " is in force; take it with 'show config' and publish against it";
      case INVALID -> "invalid:\n" + String.join("\n", reply.getMistakesList());
      case VALID -> "valid; nothing was published";
      default -> "the log did not confirm; see 'show config' before publishing again";
    };
  }
}
