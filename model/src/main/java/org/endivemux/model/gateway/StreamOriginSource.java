package org.endivemux.model.gateway;

/** Tells from what it is known which version began a stream. Immutable and thread-safe. */
public enum StreamOriginSource {
  /** The entry that was asked to continue the stream began it, too. */
  OWN_RECORD,

  /** The entry that began the stream has reported it. */
  RECORD,

  /** Only one version has served for longer than any stream lasts. */
  SOLE_VERSION,

  /** It is not known. */
  NONE
}
