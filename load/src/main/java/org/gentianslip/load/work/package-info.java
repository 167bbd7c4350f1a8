/** What callers ask for: the mixes of the fleets, prompts and the answers expected of stand-ins. */
package org.gentianslip.load.work;
