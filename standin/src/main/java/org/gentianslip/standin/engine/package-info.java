/** Stands in for a model engine that batches continuously and caches prompt prefixes. */
package org.gentianslip.standin.engine;
