/** The subcommands of {@code gentian-standin}. */
package org.gentianslip.standin.command;
