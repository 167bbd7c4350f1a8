/** The process: its place, its parts and their start and end. */
package org.gentianslip.entry.process;
