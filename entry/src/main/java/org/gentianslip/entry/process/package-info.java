/** The process of an instance: its configuration, its components, and their start and shutdown. */
package org.gentianslip.entry.process;
