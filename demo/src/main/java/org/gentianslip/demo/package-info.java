/** Shows a whole fleet at work and checks what it did. */
package org.gentianslip.demo;
