/**
 * Workloads: the mix of calls of each example fleet, prompts, and the answers expected from
 * stand-ins.
 */
package org.gentianslip.load.work;
