package org.marigoldmill.cli.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.List;
import org.slf4j.LoggerFactory;

/**
 * Writes logs as one JSON object a line.
 *
 * <p>Every command logs to standard error, unless it calls {@link #queueToStandardOutput()}. The
 * environment variable {@code MARIGOLDMILL_LOG} sets the lowest level that is logged, {@code INFO}
 * by default.
 */
public final class JsonLogging extends ContextAwareBase implements Configurator {
  private static final String LEVEL_VARIABLE = "MARIGOLDMILL_LOG";
  private static final List<String> LIBRARIES =
      List.of("io.undertow", "org.xnio", "org.jboss", "io.grpc");
  private static final int QUEUE_LINES = 2_048;

  /** Free places of the queue below which lines of level INFO and lower are dropped. */
  private static final int MIN_FREE_LINES = 256;

  private static final int FLUSH_TIMEOUT_MS = 100;

  /** Creates the configurator that Logback finds as a service. */
  public JsonLogging() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    attach(context, console(context, ConsoleTarget.SystemErr));
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }

  /**
   * Writes logs to standard output from now on, through a bounded queue that drops lines and never
   * blocks the threads that log.
   */
  public static void queueToStandardOutput() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    AsyncAppender queue = new AsyncAppender();
    queue.setContext(context);
    queue.setQueueSize(QUEUE_LINES);
    queue.setDiscardingThreshold(MIN_FREE_LINES);
    queue.setNeverBlock(true);
    queue.setMaxFlushTime(FLUSH_TIMEOUT_MS);
    queue.addAppender(console(context, ConsoleTarget.SystemOut));
    queue.start();
    attach(context, queue);
  }

  private static Appender<ILoggingEvent> console(LoggerContext context, ConsoleTarget target) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithContext(false);
    encoder.setWithArguments(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithFormattedMessage(true);
    encoder.setWithMessage(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setTarget(target.getName());
    console.setEncoder(encoder);
    console.start();
    return console;
  }

  private static void attach(LoggerContext context, Appender<ILoggingEvent> appender) {
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
    root.addAppender(appender);
    LIBRARIES.forEach(l -> context.getLogger(l).setLevel(Level.WARN));
  }
}
