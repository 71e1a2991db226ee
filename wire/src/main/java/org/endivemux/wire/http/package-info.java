/** Matching of HTTP responses to requests on connections that serve many requests in turn. */
package org.endivemux.wire.http;
