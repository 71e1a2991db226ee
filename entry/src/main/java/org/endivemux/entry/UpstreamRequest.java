package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.routing.Job;

/**
 * Holds an admitted request that is ready to be sent to a backend server.
 *
 * @param headers headers for the backend server, without the request's id
 */
@SuppressWarnings("ArrayRecordComponent") // Bodies are passed on, never compared.
record UpstreamRequest(
    Job job,
    Route route,
    RequestClass requestClass,
    HttpMethod method,
    String path,
    HttpHeaders headers,
    byte[] body) {}
