/**
 * The command line for operators. It sends HTTP requests to a daemon and, if that one does not
 * answer, to the next.
 */
package org.parsleycart.command;
