import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
  }

  synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    String line =
        String.format(Locale.ROOT, "%8.3f ", seconds)
            + String.format(Locale.ROOT, format, arguments);
    out.println(line.replaceAll("\\p{Cntrl}", " "));
    out.flush();
  }
}
