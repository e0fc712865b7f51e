package org.marigoldmill.http;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.marigoldmill.http.HttpCall.Header;

/**
 * Syntax of the parts of a request head.
 *
 * <p>Text that breaks these rules could end the request that it is a part of and begin another one.
 * Characters above 255 are excluded, since a head is written with one byte a character: the lowest
 * byte of some of them is that of a line feed.
 */
public final class HttpSyntax {
  private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
  private static final Pattern FIELD_VALUE = Pattern.compile("[\\x01-\\xFF&&[^\r\n]]*");
  private static final Pattern PATH = Pattern.compile("/[\\x21-\\x7E]*");

  private HttpSyntax() {}

  /** Returns whether a text is a method or the name of a header. */
  public static boolean isToken(String text) {
    return TOKEN.matcher(text).matches();
  }

  /** Returns whether a text can be the value of a header. */
  public static boolean isFieldValue(String text) {
    return FIELD_VALUE.matcher(text).matches();
  }

  /** Returns whether a text can be an id, which is the whole value of a header. */
  public static boolean isIdentifier(String text) {
    return isFieldValue(text) && !text.isEmpty() && text.equals(text.strip());
  }

  /** Returns whether a text is a path with an optional query. */
  public static boolean isPath(String text) {
    return PATH.matcher(text).matches();
  }

  /**
   * Returns what is wrong with the head of a request, or empty if nothing is.
   *
   * @param path path and query
   */
  public static Optional<String> violation(String method, String path, List<Header> headers) {
    return Stream.of(
            violationOfLine(method, path),
            headers.stream().flatMap(h -> violationOf(h).stream()).findFirst())
        .flatMap(Optional::stream)
        .findFirst();
  }

  private static Optional<String> violationOfLine(String method, String path) {
    if (!isToken(method)) {
      return Optional.of(shouldBe("method", "a token", method));
    }
    return isPath(path) ? Optional.empty() : Optional.of(shouldBe("path", "a path", path));
  }

  private static Optional<String> violationOf(Header header) {
    if (!isToken(header.name())) {
      return Optional.of(shouldBe("header name", "a token", header.name()));
    }
    return isFieldValue(header.value())
        ? Optional.empty()
        : Optional.of(shouldBe("header " + header.name(), "a value of one line", header.value()));
  }

  /**
   * Returns the message for a text that breaks a rule.
   *
   * @param part what the text is a part of
   */
  public static String shouldBe(String part, String expected, String actual) {
    return part + ": expected " + expected + " but was " + printable(actual);
  }

  /** Returns a text without characters that could end a line of a log. */
  public static String printable(String text) {
    return text.replaceAll("[^\\x20-\\x7E]", "?");
  }
}
