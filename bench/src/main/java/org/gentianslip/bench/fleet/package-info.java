/** Small fakes of engines and links, and the sizes of the example fleets. */
package org.gentianslip.bench.fleet;
