package org.endivemux.routing.fleet;

/** Describes how one attempt at a backend server ended. */
public enum AttemptResult {
  OK,
  /** The backend server had no free capacity and did not run the request. */
  FULL,
  /** The address now belongs to another backend server, or to none of this service. */
  GONE,
  /** The backend server answered with an error. */
  ERROR,
  /** Nothing listens at the backend server's address: its process has ended. */
  REFUSED,
  /** The backend server could not be reached or closed the connection early. */
  FAILED,
  /** The backend server sent nothing for too long, or no connection to it was free. */
  SILENT,
  /** The attempt ended early for a reason that is unrelated to the backend server. */
  CANCELLED
}
