/** What an instance knows: settings, lists, engines and peers, swapped by read-copy-update. */
package org.gentianslip.entry.state;
