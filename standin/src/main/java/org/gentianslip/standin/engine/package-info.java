/** A stand-in for a model engine with continuous batching and a prefix cache. */
package org.gentianslip.standin.engine;
