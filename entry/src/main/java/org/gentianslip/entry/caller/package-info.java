/** The callers' port: who calls, what is allowed and which instances to use. */
package org.gentianslip.entry.caller;
