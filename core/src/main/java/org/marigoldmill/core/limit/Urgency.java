package org.marigoldmill.core.limit;

/** Which requests go first when an engine accepts fewer than there are. */
public enum Urgency {
  /** A caller waits for the answer. */
  CALL,
  /** Work of a submission, which may start later: items and their reward calls. */
  BACKGROUND
}
