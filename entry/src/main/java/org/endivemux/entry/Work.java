package org.endivemux.entry;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.endivemux.model.Declaration.RequestClass;
import org.endivemux.model.Declaration.Route;
import org.endivemux.routing.Job;

/**
 * Holds a checked request that is ready to be sent.
 *
 * @param headers what the backend server sees, without the request's id
 */
@SuppressWarnings("ArrayRecordComponent") // Bodies are handed on, not compared.
record Work(
    Job job,
    Route route,
    RequestClass requestClass,
    HttpMethod method,
    String path,
    HttpHeaders headers,
    byte[] body) {}
