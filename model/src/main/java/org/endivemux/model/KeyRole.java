package org.endivemux.model;

/** Lists the permissions that a key can have. Immutable and thread-safe. */
public enum KeyRole {
  /** Sends requests for its organisation. */
  CALLER,
  /** Reads status, usage and plans. */
  VIEWER,
  /** Changes configuration and keys. */
  OPERATOR;

  /** Returns whether this role includes another; an operator may view, a caller may not. */
  public boolean includes(KeyRole needed) {
    return this == needed || (this == OPERATOR && needed == VIEWER);
  }
}
