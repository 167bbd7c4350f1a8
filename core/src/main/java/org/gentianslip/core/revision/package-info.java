/** Adoption of settings revisions from the config service and from peers. */
package org.gentianslip.core.revision;
