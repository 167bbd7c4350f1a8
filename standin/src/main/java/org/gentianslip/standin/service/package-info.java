/** A stand-in for a plain service, some of whose calls are not idempotent. */
package org.gentianslip.standin.service;
