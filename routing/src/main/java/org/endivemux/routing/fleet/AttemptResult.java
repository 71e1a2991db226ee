package org.endivemux.routing.fleet;

/** Tells how one try at a backend server ended. */
public enum AttemptResult {
  OK,
  /** The backend server had no room and did not run the request. */
  FULL,
  /** Another backend server, or none of this service, has the address now. */
  GONE,
  /** The backend server answered with an error of its own. */
  ERROR,
  /** The backend server could not be reached, broke off or went silent. */
  FAILED,
  /** The try ended early for a reason that is not the backend server's. */
  CANCELLED
}
