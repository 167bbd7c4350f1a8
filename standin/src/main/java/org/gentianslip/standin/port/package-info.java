/** Finds free ports for processes that a test or a demo starts. */
package org.gentianslip.standin.port;
