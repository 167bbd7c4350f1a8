/**
 * A small HTTP server for stand-ins, based on Netty.
 *
 * <p>Netty's codec is used directly, since a stand-in has to delay, close and observe the
 * connection of a request, which Jooby does not support.
 */
package org.gentianslip.standin.http;
