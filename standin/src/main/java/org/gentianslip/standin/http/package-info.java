/**
 * A small HTTP server on Netty for stand-ins.
 *
 * <p>Netty's codec is used directly, since a stand-in has to hold, drop and watch the connection of
 * a call, which Jooby does not offer.
 */
package org.gentianslip.standin.http;
