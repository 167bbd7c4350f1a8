/** Policies that select an engine or another region for a model request. */
package org.gentianslip.core.routing;
